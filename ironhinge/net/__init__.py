"""The real director: the decision module on sockets."""
