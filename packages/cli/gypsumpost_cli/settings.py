"""All settings of the command line and their defaults."""

import attrs

from gypsumpost_core.settings.setting import define_setting
from gypsumpost_core.settings.setting_parsers import parse_address, parse_number


@attrs.frozen(kw_only=True)
class Settings:
    """Settings that the commands for operators share.

    Each field is a flag of these commands and an environment variable.
    """

    admin_address: str = define_setting(
        default="127.0.0.1:8083",
        parse=parse_address,
        accepted="ip:port",
        help="Address of the operators' HTTP listener of any daemon.",
    )
    admin_key_file: str = define_setting(
        default="admin.key",
        accepted="path of a readable file",
        help="File with the bearer key of the operators.",
    )
    wait_limit: float = define_setting(
        default="15",
        parse=parse_number(0, 3600),
        unit="seconds",
        accepted="a number from 0 to 3600",
        help="How long --wait waits for all live hosts.",
    )
