Feature: The test runner and the event catalogue

  Scenario: Every log event has its own number
    Then each catalogue entry has a number between 100 and 999

  Scenario: The catalogue page holds every event
    Then docs/events.md is the page that the catalogue generates

  Scenario: The catalogue names the fields that the code writes
    Then each logged event has the fields that its catalogue entry names
    And each warning and error in the catalogue tells an operator what to do

  Scenario: Alarms refer to what the metrics hold
    Then docs/alarms.md names only metrics and reasons that exist
