"""A request that crashes engines which listen again at once stops reaching engines, too."""

import unittest

from support.deadly_request import DeadlyRequestCase


class DeadlyRelistedTest(DeadlyRequestCase):
    listens_at_once = True

    def test_a_deadly_call_whose_engines_listen_again_at_once(self):
        self.play("/read/7", "desk")

    def test_a_deadly_call_that_may_not_be_repeated_whose_engines_listen_again_at_once(self):
        self.play("/book/7", "desk")

    def test_a_deadly_stream_whose_engines_listen_again_at_once(self):
        self.play("/stream/7", "engines")

    def test_a_deadly_stream_whose_engines_listen_again_at_once_after_an_event(self):
        self.play("/stream/7", "engines", after_event=True)


class DeadlyNewIdTest(DeadlyRequestCase):
    listens_at_once = True
    gets_new_id = True

    def test_a_deadly_call_whose_engines_listen_again_at_once_under_new_ids(self):
        self.play("/read/7", "desk")


if __name__ == "__main__":
    unittest.main()
