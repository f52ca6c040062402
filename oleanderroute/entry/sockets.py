"""Sockets of the request path, before a protocol is put on them."""

import socket

# Callers that wait while all hosts of a failure domain start again.
BACKLOG = 1024
# A peer that vanished is noticed after 10 + 3 x 3 s without traffic.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3


def family_of(address):
    """Return the address family of an IP number."""
    return socket.AF_INET6 if ":" in address else socket.AF_INET


def set_keepalive(sock):
    """Let the kernel probe an idle connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def open_socket(address):
    """Return a non-blocking TCP socket for an IPv4 or IPv6 ``address``."""
    sock = socket.socket(family_of(address), socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_keepalive(sock)
    return sock


def listening_socket(address, port):
    """Return a TCP socket that listens.

    Raises
    ------
    OSError
        If the address is in use or not ours.
    """
    sock = socket.socket(family_of(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit this. Without it, a caller that vanishes without a
    # packet would hold its request until the target answers.
    set_keepalive(sock)
    try:
        sock.bind((address, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
