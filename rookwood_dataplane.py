"""Starts the data plane."""

import sys

from rookwood.cluster.startup import skip_tls_import


def main() -> int:
    """Run until SIGTERM. Returns the exit code: 2 if the options or the settings cannot be used."""
    skip_tls_import()
    import asyncio

    from rookwood.cluster.logs import configure_logging
    from rookwood.cluster.options import DATA_PLANE_ARGUMENTS, OptionsError
    from rookwood.cluster.settings import SettingsError, load_settings, settings_path
    from rookwood.dataplane.program import DataPlane

    try:
        options = DATA_PLANE_ARGUMENTS.read(sys.argv[1:])
        settings = load_settings(settings_path())
    except (OptionsError, SettingsError) as error:
        print(error, file=sys.stderr)
        return 2
    configure_logging(settings.hostname)
    asyncio.run(DataPlane(settings, options).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
