"""TLS 1.3 with certificates on both sides, or plaintext on loopback where the file says so."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from rookwood.conf.schema import Gateway

SOON = timedelta(days=14)  # an expiry nearer than this is told in the log


class CertificateError(ValueError):
    """A certificate, key or authority that cannot be used; the text names the directive and the file."""


@dataclass(frozen=True, slots=True)
class Secured:
    """One set of keys as it was read; a reload makes another, for connections from then on."""

    server: ssl.SSLContext
    client: ssl.SSLContext
    expires: datetime


def secured(gateway: Gateway, now: datetime) -> Secured | None:
    """None: plaintext. Raises `CertificateError`."""
    if gateway.plaintext:
        return None
    assert gateway.certificate and gateway.key and gateway.authority  # the file was checked
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False  # peers are known by the names in the file, wherever they listen
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        _use("authority", gateway.authority, lambda c=context: c.load_verify_locations(gateway.authority))
        _use(
            "certificate",
            gateway.certificate,
            lambda c=context: c.load_cert_chain(gateway.certificate, gateway.key),
        )
    expires = expiry_of(gateway.certificate)
    if expires <= now:
        raise CertificateError(f"certificate: {gateway.certificate} expired at {expires:%Y-%m-%d %H:%M} UTC")
    return Secured(server, client, expires)


def _use(directive: str, place: Path, load) -> None:  # type: ignore[no-untyped-def]
    try:
        load()
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(f"{directive}: {place} cannot be used: {error}") from None


def expiry_of(place: Path) -> datetime:
    """When the first certificate of a PEM file ends."""
    try:
        from cryptography import x509

        return x509.load_pem_x509_certificate(place.read_bytes()).not_valid_after_utc
    except (OSError, ValueError) as error:
        raise CertificateError(f"certificate: {place} cannot be read: {error}") from None


def name_of(connection: ssl.SSLObject | None) -> str | None:
    """The common name of the peer's certificate, which the handshake has proved; None on plaintext."""
    if connection is None:
        return None
    told: Any = connection.getpeercert() or {}
    names = [value for part in told.get("subject", ()) for key, value in part if key == "commonName"]
    return str(names[0]) if names else ""


def utc_now() -> datetime:
    return datetime.now(UTC)
