"""Certificates for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

PEM = serialization.Encoding.PEM


def write_certificate(cert_path, key_path=None, name="test"):
    """Write a key and a self-signed certificate for 127.0.0.1.

    :param cert_path: file of the certificate, and of the key if ``key_path`` is ``None``.
    :param key_path: file of the key.
    :param name: common name.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    begin = datetime.datetime(2020, 1, 1)
    signed = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(begin)
        .not_valid_after(begin + datetime.timedelta(days=36500))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    private = key.private_bytes(
        PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    if key_path is None:
        cert_path.write_bytes(private + signed.public_bytes(PEM))
    else:
        key_path.write_bytes(private)
        cert_path.write_bytes(signed.public_bytes(PEM))
