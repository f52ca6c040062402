Feature: The test runner and the event catalogue

  Scenario: Every log event has its own number
    Then each catalogue entry has a number between 100 and 999
