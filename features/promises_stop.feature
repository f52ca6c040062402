Feature: A planned stop of any process cuts no request in flight
  Guards P6 on real processes that are sent SIGTERM under load.

  Scenario: A daemon stops during a large upload and a slow order
    Given the promises_stop fleet
    When a promises_stop daemon is stopped during an upload and an order
    Then both promises_stop requests completed and the daemon ended with 0
    And a promises_stop resend of the order gets the recorded answer

  Scenario: A daemon, a target and the platform stop under load
    Given the promises_stop fleet
    When promises_stop load with seed 41 meets stops of all kinds of processes
    Then no promises_stop request was cut and all were served
