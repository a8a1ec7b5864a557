"""The edge towards operators, who edit the document."""
