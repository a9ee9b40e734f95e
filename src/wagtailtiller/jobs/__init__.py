"""The job aggregate: steps, tasks, runs and the rules between them."""
