"""The operators' settings: one file with a table for each feature; every feature is off by default."""

from cloverrouter.site.settings import Control, Site, SiteError, State, check, load
from cloverrouter.strict import Fault

__all__ = ["Control", "Fault", "Site", "SiteError", "State", "check", "load"]
