"""Admission of generations, and shares of allowances between daemons."""
