"""Tests of the switch for the control of overload."""

import testtools

from wagtailtiller.platform import settings

_SETTINGS = {
    "node_name": "a-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "port_range": [7000, 7010],
    "bounds": {},
    "platform": {"address": "10.0.0.2:2379"},
}


class OverloadControlTest(testtools.TestCase):
    def decode(self, **fields):
        return settings.decode({**_SETTINGS, **fields}).ok

    def test_jobs_are_served_as_before_where_nothing_asks_for_a_choice(self):
        self.assertFalse(self.decode().overload_control)
        self.assertFalse(self.decode(contracts=["other"]).overload_control)

    def test_the_contract_switches_the_control_of_overload_on(self):
        decoded = self.decode(contracts=["other", "pressure"])
        self.assertTrue(decoded.overload_control)

    def test_a_list_of_contracts_of_a_wrong_type_is_an_error(self):
        result = settings.decode({**_SETTINGS, "contracts": "pressure"})
        self.assertIn("contracts", str(result.error))
