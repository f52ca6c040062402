"""Steps on the shape of the project itself."""

from behave import then

from oleanderroute import events


@then("each catalogue entry has a number between 100 and 999")
def step_numbers(context):
    for number, event in events.CATALOGUE.items():
        assert 100 <= number <= 999, event
        assert event.number == number
