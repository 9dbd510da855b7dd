# The settings that all sidecars of a code-search service share; site.star loads this file.

def search_group(name, paths, kind, target, timeout, benefit, **more):
    path_group(
        name = name,
        methods = ["GET"] if kind == "repeatable" else ["POST"],
        paths = paths,
        kind = kind,
        target_latency = target,
        client_timeout = timeout,
        benefit = benefit,
        **more
    )

CAPS = [0.136, 0.425, 1.0, 1.0]
