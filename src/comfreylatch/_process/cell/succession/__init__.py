"""What an owner may conclude while another one may act beside it.

An owner that is cut off acts for some time beside its successor, each on the
workers that it reaches. A conclusion about a run is safe only if the other one
cannot come to a different one. So it needs evidence that rules the other one
out: of silence from the store, of reports from a worker that has refused the
other one since.
"""

from __future__ import annotations
