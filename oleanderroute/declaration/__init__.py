"""The operators' declaration: model, checks, storage form and differences."""
