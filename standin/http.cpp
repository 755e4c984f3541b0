namespace standin {}
