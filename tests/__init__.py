"""The tests of ashdock, their stand-ins, and the tools that measure it in simulated time."""
