"""Checks of settings that depend on other settings or on the content of files."""

import ssl
from collections.abc import Callable

import attrs

from gypsumpost_core.settings.settings_reader import get_flag_name
from gypsumpost_daemon.credentials.caller_tls import CallerTls
from gypsumpost_daemon.credentials.shared_key_file import read_key
from gypsumpost_daemon.peers.peer_tls import PeerTls
from gypsumpost_daemon.settings import Settings

CALLER_TLS_FILES = ("tls_cert_file", "tls_key_file")
PEER_TLS_FILES = ("peer_tls_cert_file", "peer_tls_key_file", "peer_tls_ca_file")
CERTIFICATE_FILES = ("tls_cert_file", "peer_tls_cert_file", "peer_tls_ca_file")
KEY_FILES = ("peer_key_file", "admin_key_file")


def check_settings(settings: Settings) -> list[str]:
    """Return an error message for each setting that conflicts with others or has an invalid file.

    :param settings: settings whose values were each accepted by their parsers.
    """
    errors = _check_combinations(settings)
    errors += _check_files(settings, KEY_FILES, read_key)
    errors += _check_files(settings, CERTIFICATE_FILES, _load_certificates)
    if errors:
        return errors
    if settings.tls_cert_file:
        errors += _check_chain(settings, CALLER_TLS_FILES, CallerTls)
    if settings.peer_tls_cert_file:
        errors += _check_chain(settings, PEER_TLS_FILES, PeerTls)
    return errors


def _check_combinations(settings: Settings) -> list[str]:
    errors = [*_check_group(settings, CALLER_TLS_FILES), *_check_group(settings, PEER_TLS_FILES)]
    if settings.admin_address and not settings.admin_key_file:
        errors.append(_describe(settings, "admin_key_file", "with --admin-address"))
    if settings.admin_address and not settings.platform_address:
        errors.append(_describe(settings, "platform_address", "with --admin-address"))
    if not settings.platform_address and not settings.workspace_keys.workspaces:
        errors.append(_describe(settings, "workspace_keys", "without --platform-address"))
    return errors


def _check_group(settings: Settings, names: tuple[str, ...]) -> list[str]:
    present = [name for name in names if getattr(settings, name)]
    missing = [name for name in names if not getattr(settings, name)]
    if not present:
        return []
    return [_describe(settings, name, f"with {get_flag_name(present[0])}") for name in missing]


def _check_files(
    settings: Settings, names: tuple[str, ...], read: Callable[[str], object]
) -> list[str]:
    errors = []
    for name in filter(lambda name: getattr(settings, name), names):
        try:
            read(getattr(settings, name))
        except (OSError, ValueError) as error:
            errors.append(_describe(settings, name, f"({error})"))
    return errors


def _check_chain(
    settings: Settings, names: tuple[str, ...], create: Callable[..., object]
) -> list[str]:
    # The certificates have already been loaded successfully, so a failure here is in the key.
    paths = [getattr(settings, name) for name in names]
    try:
        create(**dict(zip(("cert_file", "key_file", "ca_file"), paths, strict=False)))
    except (OSError, ValueError) as error:
        return [_describe(settings, names[1], f"({error})")]
    return []


def _load_certificates(path: str) -> None:
    ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_verify_locations(path)


def _describe(settings: Settings, name: str, reason: str) -> str:
    setting = attrs.fields_dict(Settings)[name].metadata["setting"]
    value = "" if setting.secret else getattr(settings, name)
    return (
        f"{get_flag_name(name)}: {value!r} is not accepted {reason}; "
        f"accepted: {setting.accepted}"
    )
