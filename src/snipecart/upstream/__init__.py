"""Exchange HTTP requests and answers with backend servers."""
