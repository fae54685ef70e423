"""The operators' settings: one file, one table for each feature, all off unless the file turns them on."""

from cloverrouter.site.settings import Control, Site, SiteError, State, check, load
from cloverrouter.strict import Fault

__all__ = ["Control", "Fault", "Site", "SiteError", "State", "check", "load"]
