"""Parses and validates the answers of a target."""

import re

import httptools

from ..errors import MalformedAnswer
from .answer_stream import BUFFER_BYTES, BufferedStream
from .dialect import DEFAULT_DIALECT, AnswerOrigin
from .messages import DROPPED_FROM_ANSWER, TargetAnswer, answer_headers

MAX_HEADERS = 200
# Within a header or a reason, it shows that the head of another answer broke off there.
STATUS_LINE_START = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.\d \d{3}")
FIRST_INTERIM_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
SWITCHING_PROTOCOLS = 101
# Interim answers (RFC 9110, section 15.2) before the final one.
MAX_INTERIM_ANSWERS = 32


class AnswerParser:
    """Callbacks of the HTTP parser and the state of the answer being parsed.

    An exception in a callback stops the parser, which then rejects all input.
    """

    def __init__(self, dialect=DEFAULT_DIALECT):
        self.dialect = dialect
        self.parser = None
        self.waiter = None
        self.stream = None
        self.keep_alive_s = None
        self.reset_answer("")

    def reset_answer(self, method, request_id=None, is_reused=False):
        """Prepare for the answer to a request with ``method``.

        Parameters
        ----------
        request_id : bytes, optional
            Id that the target echoes in the answer to this request.
        is_reused : bool
            Whether an answer to an earlier request may still arrive.
        """
        self.method = method
        self.is_reused = is_reused
        self.request_id = request_id
        self.stray = False
        self.until_close = False
        self.message_open = False
        self.head_complete = False
        self.answer_complete = False
        self.extra_bytes = False
        self.keep_alive = False
        self.head_bytes = 0
        self.interim_answers = 0
        self.body_bytes = 0
        self.headers = []
        self.reason = b""
        self.chunks = []
        self.size = 0
        self.answer = None
        if self.parser is None:
            self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self):
        """Start an answer, or record that bytes follow a complete one."""
        if self.answer_complete:
            self.extra_bytes = True
            return
        self.message_open = True
        self.headers = []
        self.reason = b""

    def on_status(self, reason):
        """Store the reason of the status line, which may arrive in parts."""
        if not self.answer_complete:
            self.reason += reason

    def on_header(self, name, value):
        """Store a header; trailers after the body are dropped."""
        if self.head_complete or self.stray:
            return
        self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self):
        """Validate the head of an answer; raises ``MalformedAnswer``."""
        status = self.parser.get_status_code()
        if self.answer_complete:
            return
        if not FIRST_INTERIM_STATUS <= status <= LAST_STATUS:
            raise MalformedAnswer(f"status {status:03d}", True)
        if status < FIRST_FINAL_STATUS:
            self.count_interim(status)
            return
        if len(self.headers) > MAX_HEADERS:
            raise MalformedAnswer("too many headers", True)
        self.status = status
        self.check_single_head()
        length = self.read_answer_head()
        if self.stray:
            return
        self.head_complete = True
        if self.method == "HEAD":
            # The parser has no option for an answer without a body, so the connection
            # replaces it before the next request.
            self.answer_complete = True
            self.keep_alive = self.parser.should_keep_alive()
        elif length > BUFFER_BYTES:
            self.start_stream()

    def count_interim(self, status):
        """Count an interim answer; raises ``MalformedAnswer`` if no final one follows.

        Otherwise a target could hold a request with them until its time limit.
        """
        self.interim_answers += 1
        if status == SWITCHING_PROTOCOLS:
            raise MalformedAnswer("unrequested upgrade", True)
        if self.interim_answers > MAX_INTERIM_ANSWERS:
            raise MalformedAnswer("too many interim answers", True)

    def check_single_head(self):
        """Refuse a head that continues with the status line of another answer.

        A target may break off in the head of a late answer and go on with the next one.
        The parser takes the status line of the second for a part of the first.
        """
        texts = [self.reason]
        for _, value in self.headers:
            texts.append(value)
        for text in texts:
            if STATUS_LINE_START in text and STATUS_LINE.search(text):
                raise MalformedAnswer("two answers in one head", True)

    def read_answer_head(self):
        """Build the answer from the headers and return the declared length.

        Raises
        ------
        MalformedAnswer
            If the answer has neither a length nor chunked framing and the dialect
            does not permit bodies delimited by the end of the connection.
        """
        answer = TargetAnswer(self.status, self.headers, None)
        self.answer = answer
        dialect = self.dialect
        length = -1
        chunked = False
        encoded = False
        drop = False
        for name, value in self.headers:
            if name == b"content-length":
                length = int(value)
            elif name in dialect.header_names:
                dialect.read_header(answer, name, value)
            elif name in DROPPED_FROM_ANSWER:
                drop = True
                if name == b"transfer-encoding":
                    chunked = value.lower() == b"chunked"
                    encoded = not chunked
                elif name == b"connection":
                    answer.closes = b"close" in value.lower()
                elif name == b"keep-alive":
                    self.keep_alive_s = read_keep_alive(value)
        dialect.finish(answer)
        if drop:
            answer.headers = answer_headers(self.headers)
        if self.has_no_body():
            length = 0
        self.until_close = length < 0 and not chunked and not self.has_no_body()
        answer.ends_with_connection = self.until_close
        if self.until_close and (encoded or not dialect.close_ends_answer):
            raise MalformedAnswer("answer without length", True)
        self.stray = self.is_stray(answer, length < 0 and not chunked)
        return length

    def is_stray(self, answer, has_no_end):
        """Return whether the answer belongs to another request and is skipped.

        Raises
        ------
        MalformedAnswer
            If the answer is not the target's to this request, and no other answer
            can follow on the connection.
        """
        origin = self.dialect.find_origin(answer, self.request_id, self.is_reused)
        if origin is AnswerOrigin.OWN:
            return False
        if origin is AnswerOrigin.UNKNOWN:
            raise MalformedAnswer("not proven to be the answer to this request", True)
        if has_no_end or answer.closes:
            raise MalformedAnswer("answer to another request", True)
        return True

    def has_no_body(self):
        """Return whether the answer has no body."""
        return self.method == "HEAD" or self.status in (204, 304)

    def on_body(self, data):
        """Buffer a small body, stream a larger one."""
        if self.answer_complete:
            self.extra_bytes = True
            return
        if self.stray:
            return
        self.body_bytes += len(data)
        if self.stream is not None:
            self.stream.feed(data)
            return
        self.chunks.append(data)
        self.size += len(data)
        if self.size > BUFFER_BYTES:
            self.start_stream()

    def on_message_complete(self):
        """Record the end of an answer; interim and stray answers are skipped."""
        if self.answer_complete:
            return
        if self.stray or not self.head_complete:
            self.stray = False
            self.message_open = False
            return
        self.answer_complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def start_stream(self):
        """Deliver the answer and stream the rest of its body."""
        self.stream = BufferedStream(self, self.chunks)
        self.chunks = []
        self.answer.stream = self.stream
        if not self.waiter.done():
            self.waiter.set_result(self.answer)


def read_keep_alive(value):
    """Return the timeout in seconds of a ``Keep-Alive`` header, or None."""
    for part in value.lower().split(b","):
        name, _, number = part.strip().partition(b"=")
        if name == b"timeout" and number.isdigit():
            return int(number)
    return None
