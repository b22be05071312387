"""Run the command line by `python -m chervilcove`."""

from chervilcove.management import core

core.main()
