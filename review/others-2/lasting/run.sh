#!/usr/bin/env bash
cd "$(dirname "$0")/../../.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=review/kit2 exec python3 review/others-2/lasting/case.py
