"""Certificates for tests and demos: a private certificate authority, and server certificates signed by it."""

from __future__ import annotations

import datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

Key = ec.EllipticCurvePrivateKey
DAY = datetime.timedelta(days=1)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(subject: str, issuer: str, key: Key) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + 30 * DAY)
    )


class Authority:
    """A certificate authority; `file` is the path of its own certificate."""

    def __init__(self, folder: Path, name: str = "an authority") -> None:
        self._folder, self._name = folder, name
        self._key = ec.generate_private_key(ec.SECP256R1())
        public_key = self._key.public_key()
        certificate = (
            _builder(name, name, self._key)
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(public_key), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        self.file = folder / f"{name}.pem"
        self.file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str, file: str) -> tuple[str, str]:
        """Write a certificate for the host `name`, and its key; return the two paths.

        Existing files FILE.crt and FILE.key are replaced.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = (
            _builder(name, self._name, key)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(self._key.public_key()), critical=False
            )
            .sign(self._key, hashes.SHA256())
        )
        paths = self._folder / f"{file}.crt", self._folder / f"{file}.key"
        paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(paths[0]), str(paths[1])
