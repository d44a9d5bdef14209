# Turns out/measure/table.json into a Markdown table: a row for each user and measure, a column for
# each policy.
["bounded-affinity", "round-robin", "random", "least-reported-load", "hash-only", "p2c"] as $policies
| (["user", "measure", "target"] + ($policies | .[0] = "ours") | "| " + join(" | ") + " |"),
  ("|" + ("---|" * 9)),
  (.rows | group_by([.measure, .user]) | sort_by([.[0].target == "", .[0].measure, .[0].user]) | .[]
    | . as $rows
    | [.[0].user, .[0].measure, .[0].target]
      + ($policies | map(. as $p | ($rows | map(select(.policy == $p)) | first.value) | if . == null then "" else tostring end))
    | "| " + join(" | ") + " |")
