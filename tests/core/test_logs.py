import os

from chervilcove.core import logs


class TestBoundedStream:
    def _open(self, **limits):
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        return reader, logs.BoundedStream(descriptor=writer, **limits)

    def test_lines_above_the_rate_are_counted_and_reported(self):
        reader, stream = self._open(lines_per_s=0.0, burst=2)
        for number in range(5):
            stream.write(f"{number}\n")
        assert os.read(reader, 100) == b"0\n1\n"
        assert stream.left_out_count == 3
        stream._tokens = 2.0
        stream.write("5\n")
        assert os.read(reader, 100) == b"event=lines_left_out count=3\n5\n"

    def test_a_reader_that_does_not_read_never_blocks_the_writer(self):
        reader, stream = self._open(lines_per_s=1e9, burst=1e9)
        for _ in range(200):
            stream.write("x" * 4_000 + "\n")
        assert stream.left_out_count > 100
        text = b""
        while True:
            try:
                text += os.read(reader, 1 << 20)
            except BlockingIOError:
                break
        stream.write("end\n")
        text += os.read(reader, 1 << 20)
        assert text.endswith(b"end\n")
        assert b"lines_left_out" in text
        lines = text.decode().splitlines()
        # Each line is complete.
        assert all(
            line == "x" * 4_000 or line.startswith("event=lines_left_out ")
            for line in lines[:-1]
        )

    def test_lines_to_a_closed_reader_are_counted_without_an_error(self):
        reader, stream = self._open()
        os.close(reader)
        stream.write("x\n")
        assert stream.left_out_count == 1
