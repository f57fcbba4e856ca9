"""Admission control when sockets, processor time, memory or the store's write rate run short.

`shares` divides the limits, `connections` holds the table of inbound connections, `processor`
measures how late this process is, and `control` decides what is refused, logs it, and tells clients
when to retry. Nothing here does network input or output; times are passed in.
"""
