"""The settings of a process, and the questionnaire that configurations come from."""
