"""The operators' settings: one file, one table for each feature, all off unless the file turns them on."""

from cloverrouter.site.settings import Control, Fault, Site, SiteError, State, check, load

__all__ = ["Control", "Fault", "Site", "SiteError", "State", "check", "load"]
