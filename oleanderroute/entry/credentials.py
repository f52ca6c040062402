"""Credentials in the ``Authorization`` headers of callers, kept out of other places."""

AUTHORIZATION = b"authorization"
# Names of schemes, which are no secrets. Any other first word may be a key that was
# sent without a scheme.
SCHEMES = frozenset(
    {
        b"basic",
        b"bearer",
        b"digest",
        b"dpop",
        b"negotiate",
        b"ntlm",
        b"oauth",
        b"token",
    }
)
# Characters around a credential in a malformed header.
SEPARATORS = b",;\"'"
# With more words than a Digest header has, any text counts as a credential, so that a
# header of thousands of words does not cost as many searches.
MAX_WORDS = 32
EVERYTHING = b""
HIDDEN = "(hidden)"


def credentials_of(headers):
    """Return what may be a credential in the ``Authorization`` headers of a request.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    """
    found = []
    for name, value in headers:
        if name != AUTHORIZATION:
            continue
        words = value.split(None, MAX_WORDS + 1)
        if words and words[0].lower() in SCHEMES:
            del words[0]
        for word in words:
            # Both forms: a key may begin or end with a separator.
            found.append(word)
            bare = word.strip(SEPARATORS)
            if bare and bare != word:
                found.append(bare)
        if len(found) > MAX_WORDS:
            return [EVERYTHING]
    return found


def contains_any(value, credentials):
    """Tell whether a header's value contains one of the credentials."""
    # A generator inside any() takes 3 us more a request.
    for credential in credentials:  # noqa: SIM110
        if credential in value:
            return True
    return False


def hide_credentials(text, headers):
    """Return a text for the log, or `HIDDEN` if it contains a credential of a request.

    Parameters
    ----------
    text : str
    headers : list of tuple of bytes
    """
    for credential in credentials_of(headers):
        for encoding in ("latin-1", "utf-8"):
            if credential.decode(encoding, "replace") in text:
                return HIDDEN
    return text
