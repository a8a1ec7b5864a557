"""Runs an instance on the users' platform straight from the source tree."""

import sys

from mustardswitch.programs import platform_instance

sys.exit(platform_instance.main())
