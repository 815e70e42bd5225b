"""Keys and certificates for trials on one machine: a throw-away authority and a certificate a gateway."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


class Authority:
    """Signs for as long as this object lives: its key is written nowhere."""

    def __init__(self, folder: Path, name: str = "trial authority") -> None:
        self._folder, self._key = folder, ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.file = folder / f"{name.replace(' ', '-')}.pem"
        certificate = self._signed(self._name, self._key.public_key(), timedelta(days=1), authority=True)
        self.file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def _signed(
        self, name: x509.Name, key: ec.EllipticCurvePublicKey, lasts: timedelta, authority: bool
    ) -> x509.Certificate:
        now = datetime.now(UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self._name)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(days=2))
            .not_valid_after(now + lasts)
            .add_extension(x509.BasicConstraints(ca=authority, path_length=None), critical=True)
            .sign(self._key, hashes.SHA256())
        )

    def issue(self, name: str, lasts: timedelta = timedelta(days=1)) -> list[str]:
        """Writes NAME.pem and NAME.key; returns the directives that name them in the operator's file."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._signed(subject, key.public_key(), lasts, authority=False)
        chain, secret = self._folder / f"{name}.pem", self._folder / f"{name}.key"
        chain.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        form = (serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
        secret.write_bytes(key.private_bytes(*form))
        return [f"certificate {chain}", f"key {secret}", f"authority {self.file}"]
