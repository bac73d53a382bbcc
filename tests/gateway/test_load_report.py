"""Test the parsing of load reports."""

from __future__ import annotations

import pytest

from snipecart.gateway.load_report import LoadReport
from snipecart.gateway.load_report import parse_load_report


@pytest.mark.parametrize(
    ("header", "report"),
    [
        ("3,0,8", LoadReport(3, 0, 8)),
        (" 3 , 2 , 8 ", LoadReport(3, 2, 8)),
        ("3,0,8,100", LoadReport(3, 0, 8, 1.0)),
        ("3,0,8,250", LoadReport(3, 0, 8, 2.5)),
        ("3,0,8,250,17", LoadReport(3, 0, 8, 2.5)),
        ("3,0,8,fast", LoadReport(3, 0, 8)),
        ("3,0,8,0", LoadReport(3, 0, 8)),
        ("3,0,8,", LoadReport(3, 0, 8)),
        ("3,0,8," + "9" * 400, LoadReport(3, 0, 8)),
        ("3,0,8," + "9" * 5000, LoadReport(3, 0, 8)),
        ("3,0,8,999999999999", LoadReport(3, 0, 8)),
    ],
)
def test_further_figures_never_cost_the_required_ones(header, report):
    assert parse_load_report(header) == report


@pytest.mark.parametrize("header", ["", "3", "3,0", "3,0,x", "3,-1,8", "a,b,c,100"])
def test_a_report_without_the_required_figures_is_ignored(header):
    assert parse_load_report(header) is None


@pytest.mark.parametrize("digits", [13, 400, 5000])
@pytest.mark.parametrize("figure", range(3))
def test_a_figure_of_many_digits_costs_the_report_only(figure, digits):
    figures = ["3", "0", "8"]
    figures[figure] = "1" * digits
    assert parse_load_report(",".join(figures)) is None
