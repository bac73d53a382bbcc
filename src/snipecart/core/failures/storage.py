"""Define the failures of a data folder and of the log in it."""

from __future__ import annotations

from .base import Category
from .base import Failure


class LogCorrupt(Failure):
    """Report a stored record that was synced to disk and can't be read back."""


class DataFolderInUse(Failure):
    """Refuse to read or change a data folder that a running process has locked."""

    category = Category.CONFLICT


class DataFolderBlank(Failure):
    """Refuse a folder in which no control process has stored its identity."""

    category = Category.NOT_FOUND


class DataFolderFailed(Failure):
    """Report an operating system error while a data folder was read or written."""

    category = Category.UNAVAILABLE


class NeverMember(Failure):
    """Refuse to recover the log of a process that it never listed as a member."""


class AddressUnknown(Failure):
    """Refuse to recover a log whose last membership has no address of the process."""
