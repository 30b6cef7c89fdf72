#!/bin/sh
# Copies the kit's name tables, which the bench needs, next to the site files; git ignores the copies.
# usage: deploy/sites/lay.sh KIT
set -eu
here=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
    install -m 644 "$1/sites/$file" "$here/$file"
done
