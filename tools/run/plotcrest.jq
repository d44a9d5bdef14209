# An SVG of the crest of one user: requests inside their contract over time, by policy, with arrivals
# and the central queue. Input: the results of ./run measure crest as a list; --arg user.
["#1f4e9c", "#999999", "#c46a1b", "#7a4fa3", "#2f8f4e", "#b03050"] as $colours
| map(select(.workload == "crest" and .user == $user)) as $runs
| ($runs[0].load.over_time) as $first
| 60 as $left | 560 as $width | 260 as $height
| (($first.arrived | max) * 1.05) as $top
| def x: . * $width / (($first.arrived | length) - 1) + $left;
  def y: $height + 20 - . * $height / $top;
  def line($values; $colour; $dash): "<polyline fill=\"none\" stroke=\"\($colour)\" stroke-width=\"2\" \($dash) points=\"" +
    ([$values | to_entries[] | "\(.key | x | round),\(.value | y | round)"] | join(" ")) + "\"/>";
  def caption($index; $text; $colour): "<text x=\"\($left + $width + 12)\" y=\"\(40 + 20 * $index)\" fill=\"\($colour)\">\($text)</text>";
"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"840\" height=\"340\" font-family=\"sans-serif\" font-size=\"12\">",
"<rect width=\"840\" height=\"340\" fill=\"white\"/>",
"<line x1=\"\($left)\" y1=\"\($height + 20)\" x2=\"\($left + $width)\" y2=\"\($height + 20)\" stroke=\"black\"/>",
"<line x1=\"\($left)\" y1=\"20\" x2=\"\($left)\" y2=\"\($height + 20)\" stroke=\"black\"/>",
"<text x=\"\($left + $width / 2 - 60)\" y=\"\($height + 55)\">model seconds (\(($first.arrived | length) * $first.bin_seconds) in all)</text>",
"<text x=\"6\" y=\"14\">requests in \($first.bin_seconds) s</text>",
"<text x=\"20\" y=\"\($top / 1.05 | y | round)\">\($first.arrived | max)</text>",
line($first.arrived; "black"; "stroke-dasharray=\"2 4\""), caption(0; "arrived"; "black"),
line($first.central_in_contract; "black"; "stroke-dasharray=\"8 4\""), caption(1; "central queue"; "black"),
($runs | to_entries[] | line(.value.load.over_time.in_contract; $colours[.key % 6]; ""),
    caption(.key + 2; .value.policy; $colours[.key % 6])),
"</svg>"
