"""Lets `python -m basilpost` run the command line."""

from basilpost.cli import main

if __name__ == "__main__":
    main.main()
