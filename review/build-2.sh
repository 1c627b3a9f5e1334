#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the build of the deploy file: the stand-ins are Python
# (3.11 or later, its own library only), so that they are checked here and not translated.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
