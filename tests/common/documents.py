"""Sections of a valid document, as YAML."""

from mustardswitch.internal import ids

FLEET = """owner: platform
regions:
  - name: puget
    zones: [puget-a, puget-b]
  - name: willamette
    zones: [willamette-a]
"""

BAKERY = """owner: bakers
databases:
  - name: orders
    connections: 25
    slots:
      - {id: orders-a, zone: puget-a, host: 10.0.0.1, port: 1}
      - {id: orders-b, zone: puget-b, host: 10.0.0.2, port: 2}
      - {id: orders-c, zone: willamette-a, host: 10.0.0.3, port: 3}
  - name: batches
    connections: 25
    slots:
      - {id: batches-a, zone: puget-a, host: 10.0.0.1, port: 11}
      - {id: batches-b, zone: puget-b, host: 10.0.0.2, port: 12}
      - {id: batches-c, zone: willamette-a, host: 10.0.0.3, port: 13}
"""


def texts() -> dict[ids.SectionName, str]:
    """Return the sections of a valid document by name."""
    return {ids.SectionName("fleet"): FLEET, ids.SectionName("service-bakery"): BAKERY}


def database(name: str, port: int) -> str:
    """Return the YAML of a database with one slot, to be appended to a service section."""
    return f"""  - name: {name}
    connections: 25
    slots:
      - {{id: {name}-a, zone: puget-a, host: 10.0.0.1, port: {port}}}
"""
