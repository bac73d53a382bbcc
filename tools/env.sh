# Create the virtual environment if it is missing or older than requirements.lock, and
# activate it.
if [ ! -f .venv/ready ] || [ requirements.lock -nt .venv/ready ]; then
    python3 -m venv .venv
    .venv/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
    .venv/bin/pip install --quiet --disable-pip-version-check --no-deps \
        --no-build-isolation -e .
    touch .venv/ready
fi
. .venv/bin/activate
