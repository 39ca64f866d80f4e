package callerlimit

// NewAccountWith is NewAccount with another time in which a body must make progress.
var NewAccountWith = newAccount
