"""HTTP client protocol that accepts no malformed response."""

import re

from twisted.web._newclient import (
    HTTP11ClientProtocol,
    HTTPClientParser,
    ParseError,
)

__all__ = ["ClientProtocol"]

STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9][0-9]( .*)?")
"""Status line of HTTP/1, of which the reason phrase may be missing."""

CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Byte that no line of a head may contain; a tab may."""


class ClientProtocol(HTTP11ClientProtocol):
    """Client protocol whose parser checks what a response may consist of."""

    def request(self, request):
        """Send a request; return a deferred of its response."""
        response = super().request(request)
        # The base class has no argument for the class of its parser.
        if self._parser is not None:
            self._parser.__class__ = ResponseParser
        return response


class ResponseParser(HTTPClientParser):
    """Parser that fails for responses that RFC 9112 does not allow."""

    def lineReceived(self, line):
        """Parse one line of a head.

        The base class replaces some control bytes of a header by spaces,
        strips others, and keeps the rest.

        Raises:
            ParseError: It contains a control byte.
        """
        if CONTROL_BYTE.search(line.removesuffix(b"\r")):
            raise ParseError("control byte in a head", line)
        super().lineReceived(line)

    def statusReceived(self, status):
        """Parse the status line.

        The base class takes any number for a status and any protocol name.

        Raises:
            ParseError: It is malformed.
        """
        if not STATUS_LINE.fullmatch(status):
            raise ParseError("malformed status line", status)
        super().statusReceived(status)

    def allHeadersReceived(self):
        """Prepare to parse the body.

        The base class decodes the first encoding only.

        Raises:
            ParseError: The body has several transfer encodings.
        """
        encodings = self.connHeaders.getRawHeaders(b"transfer-encoding", ())
        if len(encodings) > 1:
            raise ParseError(
                "several transfer encodings", b",".join(encodings)
            )
        super().allHeadersReceived()
