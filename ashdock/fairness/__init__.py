"""Who is served of what runs short: counted, and divided. Without input or output; docs/fairness.md has the account."""
