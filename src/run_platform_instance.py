"""Runs an instance on the users' platform from the source tree, without installing it."""

import sys

from mustardswitch.programs import platform_instance

sys.exit(platform_instance.main())
