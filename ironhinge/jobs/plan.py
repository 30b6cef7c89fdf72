"""The earlier import path of `Budgets` and `Job`, for the modules of other packages that still use it."""

from .messages import Budgets, Job

__all__ = ["Budgets", "Job"]
