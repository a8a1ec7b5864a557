"""Creates temporary certificate authorities and certificates for tests."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

VALID_DAYS = 2


class Authority:
    """A certificate authority that signs the certificates of one kind of connection."""

    def __init__(self, *, name: str, directory: pathlib.Path) -> None:
        self.directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.subject = _subject(name)
        self.path = directory / "authority.pem"
        constraints = x509.BasicConstraints(ca=True, path_length=0)
        certificate = (
            _builder(self.subject, self.subject, self.key)
            .add_extension(constraints, critical=True)
            .sign(self.key, hashes.SHA256())
        )
        self.path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str) -> dict[str, str]:
        """Issue a certificate for 127.0.0.1 and return its file names by field of the settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        names = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))])
        certificate = (
            _builder(_subject(name), self.subject, key)
            .add_extension(names, critical=False)
            .sign(self.key, hashes.SHA256())
        )
        certificate_path = self.directory / f"{name}.pem"
        key_path = self.directory / f"{name}.key"
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return {
            "certificate": str(certificate_path),
            "key": str(key_path),
            "authority": str(self.path),
        }


def _subject(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])


def _builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
    )
