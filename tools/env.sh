# Make the virtual environment from the lock once, and enter it.
if [ ! -f .venv/ready ] || [ requirements.lock -nt .venv/ready ]; then
    python3 -m venv .venv
    .venv/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
    .venv/bin/pip install --quiet --disable-pip-version-check --no-deps \
        --no-build-isolation -e .
    touch .venv/ready
fi
. .venv/bin/activate
