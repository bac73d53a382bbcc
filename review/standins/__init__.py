"""Stand-ins of the review: the platform, its operator, clients and servers."""
