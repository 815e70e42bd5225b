"""Entry point of a control machine's process."""

import sys

from rookwood.cluster.startup import skip_tls_import


def main() -> int:
    """Run until SIGTERM and return the exit code: 2 if the arguments or the settings are invalid."""
    skip_tls_import()
    import asyncio

    from rookwood.cluster.logs import configure_logging
    from rookwood.cluster.options import CONTROL_PLANE_ARGUMENTS, OptionsError
    from rookwood.cluster.settings import SettingsError, load_settings, settings_path
    from rookwood.controlplane.program import ControlPlane

    try:
        options = CONTROL_PLANE_ARGUMENTS.read(sys.argv[1:])
        settings = load_settings(settings_path())
    except (OptionsError, SettingsError) as error:
        print(error, file=sys.stderr)
        return 2
    configure_logging(settings.hostname)
    asyncio.run(ControlPlane(settings, options.mechanisms).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
