"""Admission control when sockets, processor time, memory or the store's write rate run short.

`shares` divides the limits, `connections` holds the table of inbound connections, `processor`
measures how late this process is, and `control` decides what is refused, reports it, and tells
callers when to retry. Nothing here does input or output; times are passed in.
"""
