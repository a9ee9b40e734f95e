"""Jobs with their steps, tasks and runs, and the rules that link them."""
