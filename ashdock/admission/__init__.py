"""Who gets what when sockets, the processor or the state service's writes run short, and who is told to come back when.

One place decides and says so: `shares` divides the limits, `connections` keeps the table of connections, `processor` knows how far
behind we are, and `desk` puts them together for those who ask. No input or output here; times are passed in.
"""
