"""Admission control for generations, and division of allowances among daemons."""
