#!/bin/sh
# Writes docs/charts.md from the chart files. $1: build folder.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
{
	echo "# State charts"
	echo
	echo "Drawn from the files in \`charts/\` that the code interprets and checks at start. Made by \`sh tools/draw-charts.sh\`."
	for chart in charts/*.yaml; do
		echo
		echo "## $(basename "$chart" .yaml)"
		echo
		echo '```mermaid'
		"$build/src/boragewingctl/boragewingctl" chart draw "$chart"
		echo '```'
	done
} >docs/charts.md
