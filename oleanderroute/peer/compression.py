"""Compression of values, alone or as the difference to an older value."""

import zstandard

from ..errors import MessageRejected

LEVEL = 3
MIN_WINDOW_LOG = 10


def compress(value, base=b""):
    """Return ``value`` in compressed form.

    Parameters
    ----------
    value : bytes
    base : bytes
        An older value; only the differences to it take space.
    """
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        window_log=window_log(value, base),
        write_checksum=True,
        write_content_size=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=dictionary(base)
    )
    return compressor.compress(value)


def decompress(patch, base, limit):
    """Return the value that was compressed with the same ``base``.

    Parameters
    ----------
    limit : int
        Maximum length of the value in bytes.

    Raises
    ------
    MessageRejected
        If the bytes are damaged, the base is another one or the value is too long.
    """
    try:
        parameters = zstandard.get_frame_parameters(patch)
        size = parameters.content_size
        if not 0 <= size <= limit or parameters.window_size > 4 * limit:
            raise MessageRejected(f"compressed value of {size} bytes")
        decompressor = zstandard.ZstdDecompressor(
            dict_data=dictionary(base), max_window_size=4 * limit
        )
        return decompressor.decompress(patch, max_output_size=limit)
    except zstandard.ZstdError as error:
        raise MessageRejected(f"malformed compressed value: {error}") from error


def window_log(value, base):
    """Return the size of a window that reaches back over the whole base."""
    return max(MIN_WINDOW_LOG, (len(value) + len(base)).bit_length())


def dictionary(base):
    """Return ``base`` as a dictionary of the compression, None if it is empty."""
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
