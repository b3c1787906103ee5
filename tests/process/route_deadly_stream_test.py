"""A stream that crashes each engine which runs it stops reaching engines."""

import unittest

from support.deadly_request import KNOWN_PARTS, DeadlyRequestCase


class DeadlyStreamTest(DeadlyRequestCase):
    def test_a_deadly_stream_without_prompt_parts(self):
        self.play("/stream/7", "engines")

    def test_a_deadly_stream_with_known_prompt_parts(self):
        self.play("/stream/7", "engines", fields=KNOWN_PARTS)

    def test_a_deadly_stream_that_has_begun(self):
        self.play("/stream/7", "engines", fields=KNOWN_PARTS, after_event=True)

    def test_a_deadly_stream_that_can_not_be_resumed(self):
        self.play("/once/7", "engines")


if __name__ == "__main__":
    unittest.main()
