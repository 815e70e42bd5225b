"""TLS 1.3 with certificates on both sides, or plaintext on loopback if the operator's file says so."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from rookwood.conf.schema import Gateway

EXPIRY_WARNING = timedelta(days=14)  # a certificate that expires sooner causes a log warning


class CertificateError(ValueError):
    """A certificate, key or authority that cannot be used; the text names the directive and the file."""


@dataclass(frozen=True, slots=True)
class Secured:
    """The TLS contexts of one set of keys. A reload creates another, which new connections use."""

    server: ssl.SSLContext
    client: ssl.SSLContext
    expires: datetime


def secured(gateway: Gateway, now: datetime) -> Secured | None:
    """Load the configured keys; None means plaintext. Raises `CertificateError`."""
    if gateway.plaintext:
        return None
    assert (
        gateway.certificate and gateway.key and gateway.authority
    )  # validation of the file requires all three
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False  # peers are identified by their names in the file, not by host names
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        _load("authority", gateway.authority, lambda c=context: c.load_verify_locations(gateway.authority))
        _load(
            "certificate",
            gateway.certificate,
            lambda c=context: c.load_cert_chain(gateway.certificate, gateway.key),
        )
    expires = expiry_of(gateway.certificate)
    if expires <= now:
        raise CertificateError(f"certificate: {gateway.certificate} expired at {expires:%Y-%m-%d %H:%M} UTC")
    return Secured(server, client, expires)


def _load(directive: str, path: Path, load) -> None:  # type: ignore[no-untyped-def]
    try:
        load()
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(f"{directive}: {path} cannot be used: {error}") from None


def expiry_of(path: Path) -> datetime:
    """The expiry time of the first certificate in a PEM file."""
    try:
        from cryptography import x509

        return x509.load_pem_x509_certificate(path.read_bytes()).not_valid_after_utc
    except (OSError, ValueError) as error:
        raise CertificateError(f"certificate: {path} cannot be read: {error}") from None


def peer_name(connection: ssl.SSLObject | None) -> str | None:
    """The common name of the peer's verified certificate; None on plaintext."""
    if connection is None:
        return None
    certificate: Any = connection.getpeercert() or {}
    names = [value for part in certificate.get("subject", ()) for key, value in part if key == "commonName"]
    return str(names[0]) if names else ""


def utc_now() -> datetime:
    return datetime.now(UTC)
