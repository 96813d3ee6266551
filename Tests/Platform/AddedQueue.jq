# Adds a queue for each host of a configuration: a copy of its first one at another path.
.routes += [.routes | unique_by(.host)[] | .name = "added-\(.host)" | ."path-prefix" = "/added/"]
